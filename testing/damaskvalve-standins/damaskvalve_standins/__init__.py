"""Stand-ins for what the system meets outside, for tests only."""
