"""Changes of plans in service: versions with the time from which each is in force, and the rules by which a token
bucket is carried over from one version to the next.

No I/O: times are passed in, and an invalid change is reported as a returned value that names the key at fault.
"""
