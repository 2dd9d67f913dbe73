"""Run the command line with `python -m turmericusher`."""

from turmericusher.cli.main import main

if __name__ == "__main__":
    main()
