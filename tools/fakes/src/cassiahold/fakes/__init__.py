"""Fake workers and targets that speak the published protocol over HTTP."""
