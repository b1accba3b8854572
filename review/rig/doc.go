// Package rig runs relays and directories as separate processes on loopback addresses. It
// stands in for what is around them: backend servers, clients, the platform's routers,
// operators, and the network between the directories.
package rig
