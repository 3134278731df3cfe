"""Building and describing what is shipped; not itself shipped."""
