package admin

import (
	"crypto/subtle"

	"github.com/valyala/fasthttp"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/opapi"
)

// headerKey returns the hash of the key in a header; the comparison of hashes tells nothing about the key by its
// duration.
func headerKey(ctx *fasthttp.RequestCtx, header string) (model.KeyHash, bool) {
	key := ctx.Request.Header.Peek(header)
	return model.HashKey(string(key)), len(key) > 0
}

func sameKey(a, b model.KeyHash) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

func (s *Server) isOperator(ctx *fasthttp.RequestCtx) bool {
	key, given := headerKey(ctx, opapi.OperatorKeyHeader)
	return given && sameKey(key, s.config.OperatorKey)
}

// operator lets only calls with the operators' key through.
func (s *Server) operator(next handler) handler {
	return func(ctx *fasthttp.RequestCtx) reply {
		if !s.isOperator(ctx) {
			return refuse(fasthttp.StatusUnauthorized, opapi.KindWrongKey, "header %s is missing or wrong", opapi.OperatorKeyHeader)
		}
		return next(ctx)
	}
}

// organisationOf returns the organisation whose approval key came with the call.
func organisationOf(ctx *fasthttp.RequestCtx, set decl.Set) (model.OrganisationID, model.KeyHash, bool) {
	key, given := headerKey(ctx, opapi.OrganisationKeyHeader)
	if !given {
		return "", "", false
	}
	for _, organisation := range set.Organisations {
		if sameKey(key, organisation.ApprovalKey) {
			return organisation.Name, key, true
		}
	}
	return "", "", false
}
