"""The gateway on the users' platform: `python3 -m deckcourse.platform`.

Signals may come while the program still loads, which takes half a second; their default would end
it as if it had failed. They are taken here, before anything else is imported.
"""

import gc
import os
import signal

# Settings are read after this: what SIGHUP tells of is not missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# No cleanup is needed yet. Exits without raising SystemExit, which a module that catches every
# exception during import would swallow, losing the signal.
signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))
# What loads stays for good: looked through for garbage, it takes an eighth more processor time to
# load, and a part of that again with each later search.
gc.disable()

from deckcourse.platform.program import main  # noqa: E402 - after the signals

gc.freeze()
gc.enable()

if __name__ == "__main__":
    main()
