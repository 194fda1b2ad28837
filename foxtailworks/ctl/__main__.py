"""Entry point of ``python -m foxtailworks.ctl``."""

from foxtailworks import ctl

if __name__ == "__main__":
    ctl.main()
