"""Membership of entry hosts."""
