"""A disk that refuses one kind of call on the files of a folder."""

import contextlib
import os
import threading
from pathlib import Path
from unittest import mock

# Calls that change a file or a folder.
CALLS = ("create", "write", "part", "truncate", "sync", "rename", "folder")
_PART_BYTES = 3


class FaultyDisk:
    """Refuses calls of one kind with one error, while it is faulty."""

    def __init__(self, folder):
        self.folder = str(folder)
        self.call = ""
        self.error_number = 0
        self.refused = 0
        # Set once a call has been refused.
        self.has_refused = threading.Event()

    def break_down(self, call, error_number):
        self.call, self.error_number = call, error_number
        self.refused = 0
        self.has_refused.clear()

    def mend(self):
        self.call = ""

    def refuse(self, call, path):
        """Raise the error if the call is the one that fails, and in the folder."""
        if call == self.call and str(path).startswith(self.folder):
            self.refused += 1
            self.has_refused.set()
            raise OSError(self.error_number, os.strerror(self.error_number))

    def path_of(self, descriptor):
        return os.readlink(f"/proc/self/fd/{descriptor}")

    def write(self, original):
        def write(descriptor, data):
            path = self.path_of(descriptor)
            self.refuse("write", path)
            try:
                self.refuse("part", path)
            except OSError:
                original(descriptor, data[:_PART_BYTES])
                raise
            return original(descriptor, data)

        return write

    def on_descriptor(self, call, original):
        def function(descriptor, *arguments):
            path = self.path_of(descriptor)
            self.refuse("folder" if os.path.isdir(path) else call, path)
            return original(descriptor, *arguments)

        return function

    def open_file(self, original):
        def open_file(path, mode="r", *arguments, **options):
            if "r" not in mode:
                self.refuse("create", path)
            return original(path, mode, *arguments, **options)

        return open_file

    def rename(self, original):
        def rename(path, target):
            self.refuse("rename", path)
            return original(path, target)

        return rename

    @contextlib.contextmanager
    def installed(self):
        """Pass all calls of this process on; refuse those that fail."""
        with (
            mock.patch.object(os, "write", self.write(os.write)),
            mock.patch.object(
                os, "ftruncate", self.on_descriptor("truncate", os.ftruncate)
            ),
            mock.patch.object(os, "fsync", self.on_descriptor("sync", os.fsync)),
            mock.patch.object(
                os, "fdatasync", self.on_descriptor("sync", os.fdatasync)
            ),
            mock.patch.object(Path, "open", self.open_file(Path.open)),
            mock.patch.object(Path, "replace", self.rename(Path.replace)),
        ):
            yield self
