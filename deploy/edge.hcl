# The product configuration, by example. It is read with
#
#     bin/reachwind serve --config config.json --edge deploy/edge.hcl
#     bin/reachwind check --config config.json --edge deploy/edge.hcl
#
# Without --edge no part of it runs. Each subsystem is one block; a block that is
# absent is off. Sizes are "64KB", "4MB", "1GB"; spans "250ms", "5s", "24h"; names of
# files are relative to this file's folder. docs/operators/syslog.md has all settings.

syslog {
  hostname   = "gw-1"      # else the gateway's name
  app_name   = "reachwind"
  enterprise = 32473       # your own private enterprise number; this one is RFC 5612's for examples
  max_bytes  = 2048        # 480 to 32768; a longer message is shortened, and says so

  queue {
    memory = "4MB"         # all collectors together; what does not fit is dropped, the least worthy first

    # Where a folder lasts:
    #   spool   = "/var/lib/reachwind/spool"
    #   disk    = "256MB"
    #   max_age = "24h"
    #   sync    = "200ms"  # what is not handed over is on disk by then
  }

  collector "spare" {
    address   = "127.0.0.1:5514"
    transport = "tcp"      # udp, tcp or tls
    framing   = "octets"   # octets or lf
  }

  # By TLS, with a certificate of its own. The files may change at any time.
  # collector "office" {
  #   address      = "127.0.0.1:6514"
  #   transport    = "tls"
  #   ca           = "ca.pem"
  #   cert         = "gw.pem"
  #   key          = "gw.key"
  #   server_name  = "office"
  #   fingerprints = ["sha-256:..."]
  # }

  # A record goes to the first route that selects it. What a route does not name it does not look at.
  route "trouble" {
    outcome = ["refused", "failed"]
    to      = ["spare"]
    mode    = "failover"   # all, failover or spread
    rate    = 500          # records a second
  }

  route "rest" {
    sample = 0.1           # of the requests; each kept one says how many it stands for
    to     = ["spare"]
  }
}

# Clients that speak REST. docs/operators/rest.md has the requests.
# rest {
#   listen      = "127.0.0.1:8080"
#   connections = 256
# }
