"""Runs ``foxtailctl`` from a checkout."""

from foxtailworks import ctl

if __name__ == "__main__":
    ctl.main()
