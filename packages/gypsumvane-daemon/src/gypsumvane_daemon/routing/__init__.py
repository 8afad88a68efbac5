"""Services that forward requests by route to registered leaves."""
