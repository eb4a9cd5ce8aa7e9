package admin

import (
	"crypto/subtle"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/opapi"
)

// headerKey returns the hash of the key in a header. Only hashes are compared, in constant time, so that response times
// reveal nothing about a key.
func headerKey(ctx *fasthttp.RequestCtx, header string) (model.KeyHash, bool) {
	key := ctx.Request.Header.Peek(header)
	return model.HashKey(string(key)), len(key) > 0
}

func equalKeys(a, b model.KeyHash) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

func (s *Server) isOperator(ctx *fasthttp.RequestCtx) bool {
	key, present := headerKey(ctx, opapi.OperatorKeyHeader)
	return present && equalKeys(key, s.config.OperatorKey)
}

// requireOperator returns a handler that refuses calls without the operator key and passes the others to next.
func (s *Server) requireOperator(next handler) handler {
	return func(ctx *fasthttp.RequestCtx) reply {
		if !s.isOperator(ctx) {
			return refuse(fasthttp.StatusUnauthorized, opapi.KindWrongKey, "header %s is missing or wrong", opapi.OperatorKeyHeader)
		}
		return next(ctx)
	}
}

// organisationOf returns the organisation whose approval key came with the call.
func organisationOf(ctx *fasthttp.RequestCtx, set decl.Set) (model.OrganisationID, model.KeyHash, bool) {
	key, present := headerKey(ctx, opapi.OrganisationKeyHeader)
	if !present {
		return "", "", false
	}
	for _, organisation := range set.Organisations {
		if equalKeys(key, organisation.ApprovalKey) {
			return organisation.Name, key, true
		}
	}
	return "", "", false
}
