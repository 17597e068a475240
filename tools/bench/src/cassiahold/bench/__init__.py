"""Experiments, randomised fault runs, capacity measurements and the demo."""
