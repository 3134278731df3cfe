"""Prometheus metrics of pipeline execution and recovery."""

import prometheus_client

BUCKETS_SECONDS = (0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)

RECOVERY_SECONDS = prometheus_client.Histogram(
    "apricotseam_recovery_seconds",
    "Time of each part of a recovery of one stage.",
    ["part"],
    buckets=BUCKETS_SECONDS,
)
RECOVERIES = prometheus_client.Counter(
    "apricotseam_recoveries",
    "Stages that were rebuilt or given up, by the way taken.",
    ["way"],
)
LATE_ANSWERS = prometheus_client.Counter(
    "apricotseam_late_answers",
    "Results of abandoned attempts that were dropped.",
)
STEP_CALLS = prometheus_client.Counter(
    "apricotseam_step_calls",
    "Calls to engines that carried steps.",
)
STEPS = prometheus_client.Counter(
    "apricotseam_steps",
    "Steps carried to engines.",
)
