package settingsdiff

import "fmt"

// settingsWith returns flat settings with classes of the given names.
func settingsWith(names ...string) map[string]string {
	flat := map[string]string{
		"caps.most_tries":           "4",
		"classes.count":             fmt.Sprint(len(names)),
		"family_info.need_by_class": "1",
	}
	for i, name := range names {
		path := fmt.Sprintf("classes.%d.", i)
		flat[path+"name"], flat[path+"repeat"], flat[path+"hard_limit_us"] = name, "free", "3000000"
		if i > 0 {
			flat["family_info.need_by_class"] += ",1"
		}
	}
	return flat
}
