package masticdaemon

import "net"

// NetConn returns the connection below, whose socket masticcaller examines.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// NetConn returns the connection below, whose socket masticcaller examines.
func (c *headConn) NetConn() net.Conn { return c.Conn }
