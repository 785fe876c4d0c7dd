"""The adapter to the users' platform: its names, wire and settings file."""
