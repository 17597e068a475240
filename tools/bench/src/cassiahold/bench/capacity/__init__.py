"""Capacity planning: measured cost slopes and estimates for a cell size."""
