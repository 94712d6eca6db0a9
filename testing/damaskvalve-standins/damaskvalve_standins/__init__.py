"""Provide stand-ins for backend servers and the weight store, for tests only."""
