"""Settings shared by all tests."""

import hypothesis

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, max_examples=60
)
hypothesis.settings.load_profile("fixed")
