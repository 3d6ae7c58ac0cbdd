# Three zones of three. One is cut off and slow afterwards, one gateway is stopped meanwhile; all ends well.

group {
  size  = 9
  zones = ["a", "b", "c"]
  seeds = 2
}

load "gw-01" {
  rate   = 50
  served = 0.95
}

step "zone a is cut off" {
  at = "2s"
  link "out" {
    from = ["zone:a"]
    to   = ["zone:b", "zone:c"]
    cut  = true
  }
}

hold "zone a knows that it is few" {
  at      = "3s"
  of      = ["zone:a"]
  verdict = "minority"
}

hold "the others are whole" {
  at      = "3s"
  of      = ["zone:b", "zone:c"]
  verdict = "whole"
}

step "back, but slow and lossy" {
  at   = "30s"
  heal = true
  link "slow" {
    from  = ["zone:a"]
    to    = ["*"]
    delay = "200ms"
    loss  = 0.2
  }
  pause = ["gw-04"]
}

step "all heals" {
  at     = "38s"
  heal   = true
  resume = ["gw-04"]
}

hold "one view" {
  at = "38s"
}
