"""Adapter to the users' platform: its store, endpoints and settings file."""
