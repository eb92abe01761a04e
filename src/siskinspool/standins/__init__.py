"""Stand-ins for outside systems, used by the demo, tests and load tool."""
