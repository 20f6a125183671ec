// Package upstream sends requests to upstreams and tells truthfully whether one may have reached them.
package upstream
