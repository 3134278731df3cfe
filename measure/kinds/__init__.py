"""Kinds of experiments.

Each module has a function ``run(parameters, variant, seed)`` that runs one
experiment and returns a list of `measure.Figure`. ``parameters`` are those
of the experiment's YAML file, ``variant`` names the policy or baseline
under test, and ``seed`` is the seed of all random choices.
"""
