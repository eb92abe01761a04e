"""Which software version of its servers each event stream has begun at."""
