package publisher

import (
	"fmt"

	"dandeliontrack.example/dandeliontrack/internal/version/noter"
)

// maxItemsInError bounds the number of items that a conflict error lists.
const maxItemsInError = 20

// touchedItems returns the kinds and names of the items that the note adds,
// changes or withdraws, such as `service "catalog"`.
func touchedItems(n *noter.Note) map[string]bool {
	items := make(map[string]bool)
	add := func(item, name string) { items[fmt.Sprintf("%s %q", item, name)] = true }
	for _, list := range []*noter.Items{&n.Added, &n.Changed} {
		for _, v := range list.Regions {
			add("region", v.Name)
		}
		for _, v := range list.Links {
			add("link", v.Name())
		}
		for _, v := range list.Services {
			add("service", v.Name)
		}
		for _, v := range list.Upstreams {
			add("upstream", v.Name)
		}
		for _, v := range list.ClientAccounts {
			add("customer", v.Name)
		}
		for _, v := range list.Sites {
			add("site", v.Name)
		}
		for _, v := range list.Blocks {
			add("block", v.Prefix.String())
		}
	}
	for item, names := range map[string][]string{
		"region": n.Withdrawn.Regions, "link": n.Withdrawn.Links, "service": n.Withdrawn.Services,
		"upstream": n.Withdrawn.Upstreams, "customer": n.Withdrawn.ClientAccounts, "site": n.Withdrawn.Sites,
		"block": n.Withdrawn.Blocks,
	} {
		for _, name := range names {
			add(item, name)
		}
	}
	return items
}
