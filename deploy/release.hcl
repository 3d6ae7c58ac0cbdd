# A release by example: `reachwind fleet release plan deploy/release.hcl --admin ...`. docs/operators/releases.md tells how it is used.

release "v2" {
  of       = "gateways"      # or members: db machines
  version  = "0.2"           # what a gateway says that is back in the new version
  former   = "0.1"           # and one that went back
  command  = ["./replace", "{name}", "{version}"]   # {target} is gateway/NAME; REACHWIND_FENCE, _TARGET and _VERSION are set
  back     = ["./replace", "{name}", "{version}"]
  term     = "5m"            # a target must be back by then
  together = 2               # at the most, within the budgets
  on_halt  = "stay"          # or "back": go back by itself once health or a target halts it

  step "canary" {
    zone  = "akl-east"
    count = 1
    pause = "2m"             # after its last target is back
  }
  step "half" {
    share = 0.5              # until half are on it
    pause = "2m"
  }
  step "rest" {
    share = 1
  }

  health {                   # against the gateways that are not on it; without this block nothing is compared
    refused   = 0.01         # so much larger a part refused or failed, in all and of each class
    late      = 0.02
    p99_times = 2
    restarts  = 0            # beside the release's own
    requests  = 200          # by which each side can be told
    within    = "5m"         # else the release halts: health that can't be told is no health
  }
}
