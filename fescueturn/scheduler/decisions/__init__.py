"""Decisions under load: plain functions of values, without I/O."""
