"""Decisions on requests that are forwarded by route to registered leaves."""
