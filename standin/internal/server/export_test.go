package server

// Open returns the number of open connections, of which each may have a call under way.
func (s *Server) OpenConnections() int32 { return s.http.GetOpenConnectionsCount() }
