# Gateways that know each other. For installations that allow talk between gateways; on the platform it stays off.
# The settings are described in docs/operators/membership.md; `reachwind check --edge` reads this file.

fleet {
  listen    = "127.0.0.1:7946"            # one UDP and one TCP address
  advertise = "127.0.0.1:7946"            # what peers are told, where that differs
  admin     = "127.0.0.1:7100"            # `reachwind fleet members|view|beliefs --admin`; loopback only

  seeds     = ["127.0.0.1:7947"]          # some peers; who knows one finds all
  # seed_file = "seeds"                   # an address a line; read again every few seconds

  zone      = "akl-east"                  # else the zone of the settings
  region    = "north"

  key_file  = "fleet.keys"                # a base64 key of 32 bytes a line: the first is used, all are accepted
  # folder  = "/var/lib/reachwind/fleet"  # keeps the epoch, where a folder lasts
  # events  = "/var/log/reachwind/events.jsonl"   # this process's acts, a JSON object a line, 8 MB and one older file

  bytes_per_second = "32KB"               # sent in all, whatever the group's size
  keep_failed      = "24h"                # how long a failed peer is remembered and tried

  # council     = ["127.0.0.1:7200", "127.0.0.1:7201", "127.0.0.1:7202"]   # voters' listen addresses; docs/operators/releases.md
  # signal_wait = "400ms"                 # a stop by signal waits no longer for the council's permit

  # route "gw-2" { address = "127.0.0.1:9002" }   # reach this peer by another address: a relay, a translated one
}
