"""Daemon that forwards callers' requests by route to registered leaves."""
