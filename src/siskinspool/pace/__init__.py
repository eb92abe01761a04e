"""Speed estimates of servers, choice of a server and the limit on requests in flight.

Plain state and rules without I/O, for any front end: nothing here imports `gateway`.
"""
