"""A layer-4 load balancer and its coordination parts.

Each subject is a package with one public face.  The decision cores
(:mod:`foxtailworks.agreement`, :mod:`foxtailworks.contracts`,
:mod:`foxtailworks.membership`, :mod:`foxtailworks.placement`,
:mod:`foxtailworks.requests`, :mod:`foxtailworks.limits`) hold no socket,
file, clock or global random number: an event and the time go in, typed
actions come out.
"""

__all__ = ["VERSION"]

VERSION = "0.1.0"
