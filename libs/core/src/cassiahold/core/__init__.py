"""Identifiers, states, errors, settings, logs, metrics and traces."""
