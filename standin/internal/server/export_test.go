package server

// OpenConnections returns the number of open connections; each may have a call in progress.
func (s *Server) OpenConnections() int32 { return s.http.GetOpenConnectionsCount() }
