"""Decisions under load: plain functions over values, without owner or network."""
