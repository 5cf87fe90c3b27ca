"""Watching over the shared counter, through the counter's own call and nothing else.

`roll` is the arithmetic of one number in which up to six gateways each keep a digit, `state` tells from
its readings what the counter is, `sight` what is granted meanwhile, `guarded` ties them to the decision
module, and `bound` states beforehand what may go wrong.  None of them knows a socket, a clock or a random
source.
"""
