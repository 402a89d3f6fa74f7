"""Runs the commands and examples of docs/OPERATING.md on a fleet, so that the document matches the programs."""

import json
import os
import re
import subprocess
import tempfile
import unittest

from fleet_test import FleetTest, request, wait_for
from fleet import BUILD, HOST, OPERATOR_KEY, ROOT, Target

OPERATING = (ROOT / "docs/OPERATING.md").read_text()
API = (ROOT / "docs/API.md").read_text()

# Exit code of `watch` for a move that was rolled back (docs/LANGUAGE.md).
MOVE_ROLLED_BACK = 5


def commands(section):
    """Returns the arguments of the briarsparctl commands in a section of the document."""
    text = OPERATING.split(f"## {section}")[1].split("\n## ")[0]
    return re.findall(r"^    briarsparctl (.*)$", text, re.MULTILINE)


class Operating(FleetTest):
    def setUp(self):
        super().setUp()
        self.key_file = self.folder / "operator.key"
        self.key_file.write_text(OPERATOR_KEY + "\n")
        self.first = Target(self.folder, "c1")
        self.second = Target(self.folder, "c2")
        self.addCleanup(self.first.process.end)
        self.addCleanup(self.second.process.end)

    def start_ctl(self, line):
        """Starts briarsparctl with arguments of the document, after replacing the addresses of its targets."""
        for address, target in (("10.1.2.1:9000", self.first), ("10.1.2.2:9000", self.second)):
            line = line.replace(address, f"{HOST}:{target.port}")
        environment = {**os.environ, "BRIARSPAR_SERVER": f"{HOST}:{self.vm_list()[0].operator_port}",
                       "BRIARSPAR_KEY_FILE": str(self.key_file)}
        return subprocess.Popen([str(BUILD / "src/briarsparctl"), *line.split()], env=environment,
                                stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)

    def run_ctl(self, line):
        process = self.start_ctl(line)
        output, _ = process.communicate(timeout=120)
        self.assertEqual(process.returncode, 0, f"{line}: {output}")
        return output

    def test_first_customer_drain_and_move(self):
        """Fails if briarsparctl refuses a command of the document."""
        output = "".join(self.run_ctl(it) for it in commands("First customer"))
        key = next(it for it in re.findall(r"\S+", output) if len(it) > 30)
        port = self.vm_list()[-1].caller_port
        wait_for(lambda: request(port, "GET", "/closures", key).status == 200, "the first request is answered")
        watch = None
        for line in commands("Drain"):
            if "m42" in line:
                line = line.replace("m42", wait_for(lambda: self.fleet.show("moves"), "the move is listed")[0]["id"])
            if line.startswith("watch"):
                watch = self.start_ctl(line)
                continue
            self.run_ctl(line)
        output, _ = watch.communicate(timeout=120)
        self.assertEqual(watch.returncode, MOVE_ROLLED_BACK, output)

    def test_example_settings_are_valid(self):
        """Fails if the daemon refuses the example settings of the document."""
        text = OPERATING.split('## Installing')[1]
        example = json.loads(text[text.index("    {"):text.index("\n    }") + 6])
        example["operators"][0]["key_sha256"] = "0" * 64
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(example, file)
            file.flush()
            checked = subprocess.run([str(BUILD / "src/briarspard"), "--settings", file.name, "--check"],
                                     capture_output=True, text=True)
        self.assertEqual(checked.returncode, 0, checked.stderr)

    def test_documented_refusals_and_metrics_exist(self):
        """Fails if the document names a refusal code or a metric that does not exist."""
        for code in re.findall(r"^\| `([a-z-]+)`", OPERATING, re.MULTILINE):
            self.assertIn(f"| `{code}` |", API)
        self.serve()
        request(self.vm_list()[0].caller_port, "GET", "/read/x", "no-such-key")
        metrics = request(self.vm_list()[0].operator_port, "GET", "/metrics").body.decode()
        for name in re.findall(r"`(briarspar_[a-z_]+)`", OPERATING):
            self.assertIn(name, metrics)


if __name__ == "__main__":
    unittest.main(verbosity=2)
