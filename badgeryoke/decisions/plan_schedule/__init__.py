"""Plans that change in service: versions with the time from which each is in force, and how a token bucket is
carried over from one to the next.

No I/O: times are passed in, and what is wrong with a change is returned as a value that names its key.
"""
