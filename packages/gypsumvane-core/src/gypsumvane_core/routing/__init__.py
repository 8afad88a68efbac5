"""Routing decisions for requests forwarded to registered leaves, without I/O."""
