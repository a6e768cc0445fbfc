"""The gateway on the users' platform: `python3 -m deckcourse.platform`.

Signal handlers are installed before anything else is imported. Imports take half a second, and a
signal in that time would by default end the process as if it had failed.
"""

import gc
import os
import signal

# The settings are read after the imports, so a SIGHUP that is ignored here isn't lost.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# No cleanup is needed yet. Exits without raising SystemExit, which a module that catches every
# exception during import would swallow, losing the signal.
signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))
# Objects created by imports are never freed. Scanning them for garbage would take an eighth more
# processor time during startup, and a part of that again in each later collection.
gc.disable()

from deckcourse.platform.program import main  # noqa: E402 - after the signal handlers

gc.freeze()
gc.enable()

if __name__ == "__main__":
    main()
