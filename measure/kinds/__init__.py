"""Kinds of experiments.

Each module has a function ``run(parameters, variant, seed)`` that runs one
experiment and returns a list of `measure.Figure`. ``variant`` names the
policy or baseline under test.
"""
