"""The gateway on the users' platform: `python3 -m deckcourse.platform`.

Signals may come while the program still loads, which takes half a second; their default would end
it as if it had failed. They are taken here, before anything else is imported.
"""

import gc
import signal
import sys

# Settings are read after this: what SIGHUP tells of is not missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Nothing has begun that would have to be finished.
signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
# What loads stays for good: looked through for garbage, it takes an eighth more processor time to
# load, and a part of that again with each later search.
gc.disable()

from deckcourse.platform.program import main  # noqa: E402 - after the signals

gc.freeze()
gc.enable()

if __name__ == "__main__":
    main()
