"""Whole answers: order of events, resume handles."""
