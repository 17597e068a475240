"""Handlers of HTTP requests, one module for each kind of sender."""
