// Package platformsim simulates the users' platform for one scheduler program: nodes, owners, misbehaving clients and the control
// feed exchange the bytes of the platform's protocols with requests.Core, through the codecs and package platformfront, in
// simulated time. It plays a Day, injects the day's faults and judges the traffic from outside, by rules that know nothing of the
// core.
//
// The day alone determines the result. The package reads no clock and opens no sockets. What it leaves out is in docs/search.md.
package platformsim
