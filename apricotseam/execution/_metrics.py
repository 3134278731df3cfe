"""Prometheus metrics of at-most-once execution."""

import prometheus_client

REQUESTS = prometheus_client.Counter(
    "apricotseam_once_requests",
    "Calls that are not idempotent, by how a copy was settled.",
    ["way", "settled"],
)
CLAIM_BATCHES = prometheus_client.Counter(
    "apricotseam_claim_batches", "Batches of claimed keys."
)
CLAIMS = prometheus_client.Counter(
    "apricotseam_claims", "Claimed keys in batches."
)
