"""Entry point of ``python -m damaskrill``."""

from damaskrill.cli import main

if __name__ == "__main__":
    main()
