"""Plans that change in service: versions with the time from which each holds, and how a store is carried
over.

No I/O: times come in as figures, and what is wrong with a change comes back as a value that names its key.
"""
