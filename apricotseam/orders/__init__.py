"""Orders to targets under a lease."""
