"""Test what an instance on the platform loads before it serves its first caller.

Load: all instances end at once and start again on machines with a fraction of a core.
Callers are not served before the last import, so only what the start needs is loaded.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

from parameterized import parameterized
from testtools import TestCase

LIST_MODULES = """
import importlib, json, sys
before = set(sys.modules)
importlib.import_module(sys.argv[1])
print(json.dumps(sorted(set(sys.modules) - before)))
"""

SOURCES = Path(__file__).parents[2] / "src"
START_LIMIT_S = 60.0
OWN_INTERFACE = tuple(
    f"turmericusher.decisions.{name}"
    for name in ("admission", "claims", "generation", "membership", "rollout")
)


def loaded_modules(module: str) -> list[str]:
    """Return the modules that a new process loads with one of them."""
    result = subprocess.run(
        [sys.executable, "-c", LIST_MODULES, module],
        env=os.environ | {"PYTHONPATH": str(SOURCES)},
        capture_output=True,
        check=True,
        timeout=START_LIMIT_S,
    )
    modules: list[str] = json.loads(result.stdout)
    return modules


class StartCostTest(TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.modules = loaded_modules("turmericusher.platform.__main__")

    @parameterized.expand(
        [
            ("the command line", ("cappa", "rich", "turmericusher.cli")),
            ("gRPC", ("grpclib", "h2", "google.protobuf", "turmericusher.peers")),
            ("model classes", ("pydantic", "pydantic_core")),
            ("the framework of the product's own interface", ("starlette", "anyio")),
            ("the logs of the product's own interface", ("eliot", "pyrsistent")),
            ("a second JSON library", ("orjson",)),
            ("the product's own settings", ("yaml", "turmericusher.settings")),
            ("the stand-ins", ("turmericusher.standins",)),
            ("decisions of the product's own interface", OWN_INTERFACE),
        ]
    )
    def test_the_start_does_not_load(self, _, packages) -> None:
        loaded = [
            module
            for module in self.modules
            if any(module == each or module.startswith(f"{each}.") for each in packages)
        ]
        self.assertEqual([], loaded)

    def test_callers_can_connect_before_any_library_is_loaded(self) -> None:
        modules = loaded_modules("turmericusher.platform.early_listener")
        slow = {"asyncio", "aiohttp", "msgspec", "ssl", "uvicorn", "uvloop"}
        self.assertEqual(set(), slow & set(modules))
