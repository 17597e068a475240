"""Command line for operators of a cell."""
